package catalogue

// EngineOrder is the desired state of one engine: its role and the models, versions and adapters that it has
// loaded. The router that holds the order lease brings the engine to this state.
type EngineOrder struct {
	// Name is the order's name in the catalogue.
	Name string `yaml:"name" json:"name"`
	// Upstream is the name of the engine.
	Upstream string `yaml:"upstream" json:"upstream"`
	// Models are the models to have loaded; all others are unloaded.
	Models []EngineModel `yaml:"models,omitempty" json:"models,omitempty"`
	// Role is, for example, prefill, decode or both; empty leaves the role unchanged.
	Role string `yaml:"role,omitempty" json:"role,omitempty"`
}

// EngineModel is a model that an engine loads from the weight store.
type EngineModel struct {
	Model    string   `yaml:"model" json:"model"`
	Version  string   `yaml:"version" json:"version"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
}
