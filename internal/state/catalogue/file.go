package catalogue

import (
	"fmt"
	"reflect"
	"strings"

	"gopkg.in/yaml.v3"
)

// Parse parses and checks a catalogue file. It returns all findings together; the catalogue is valid only if
// there are none.
func Parse(file string, data []byte) (Catalogue, []Finding) {
	f := &findings{file: file, lines: make(map[string]int)}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		f.addAt(0, "", "not valid YAML: %v", err)
		return Catalogue{}, f.list
	}
	if len(document.Content) == 0 {
		f.addAt(0, "", "the file is empty")
		return Catalogue{}, f.list
	}
	var c Catalogue
	f.decode(document.Content[0], reflect.ValueOf(&c).Elem(), "")
	f.check(c)
	return c, f.sorted()
}

// decode sets target from a node and adds findings for unknown keys, duplicate keys and values of the wrong
// type. yaml.Decoder with KnownFields would report the line of an unknown key but not its path.
func (f *findings) decode(node *yaml.Node, target reflect.Value, path string) {
	f.lines[path] = node.Line
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	switch target.Kind() {
	case reflect.Struct:
		f.decodeStruct(node, target, path)
	case reflect.Slice:
		f.decodeSlice(node, target, path)
	default:
		if err := node.Decode(target.Addr().Interface()); err != nil || node.Kind != yaml.ScalarNode {
			f.add(path, "must be %s", describeType(target.Type()))
		}
	}
}

func (f *findings) decodeStruct(node *yaml.Node, target reflect.Value, path string) {
	if node.Kind != yaml.MappingNode {
		f.add(path, "must be a mapping")
		return
	}
	fields := fieldsByKey(target)
	seen := make(map[string]int)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		fieldPath := joinPath(path, key.Value)
		if first, dup := seen[key.Value]; dup {
			f.addAt(key.Line, fieldPath, "key appears twice, first at line %d", first)
			continue
		}
		seen[key.Value] = key.Line
		field, known := fields[key.Value]
		if !known {
			f.addAt(key.Line, fieldPath, "unknown key")
			continue
		}
		f.decode(node.Content[i+1], field, fieldPath)
	}
}

func (f *findings) decodeSlice(node *yaml.Node, target reflect.Value, path string) {
	if node.Kind != yaml.SequenceNode {
		f.add(path, "must be a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		f.decode(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(list)
}

func fieldsByKey(target reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range target.NumField() {
		key, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("yaml"), ",")
		if key != "" && key != "-" {
			fields[key] = target.Field(i)
		}
	}
	return fields
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number without a unit"
	case reflect.Float64:
		return "a number without a unit"
	case reflect.Bool:
		return "true or false"
	}
	return "a text"
}

// Marshal returns the catalogue as the content of a catalogue file.
func Marshal(c Catalogue) ([]byte, error) { return yaml.Marshal(c) }
