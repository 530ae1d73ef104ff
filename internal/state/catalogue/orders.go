package catalogue

// EngineOrder is the desired state of one engine: which models, adapters and
// versions it has loaded, and its role. The order holder reconciles the engine
// to it.
type EngineOrder struct {
	// Name is the order's name in the catalogue.
	Name string `yaml:"name" json:"name"`
	// Upstream is the name of the engine.
	Upstream string `yaml:"upstream" json:"upstream"`
	// Models are loaded; others are unloaded.
	Models []EngineModel `yaml:"models,omitempty" json:"models,omitempty"`
	// Role is for example prefill, decode or both; empty leaves it alone.
	Role string `yaml:"role,omitempty" json:"role,omitempty"`
}

// EngineModel is a model that an engine loads from the weight store.
type EngineModel struct {
	Model    string   `yaml:"model" json:"model"`
	Version  string   `yaml:"version" json:"version"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
}
