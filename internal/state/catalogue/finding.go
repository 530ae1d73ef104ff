package catalogue

import (
	"fmt"
	"sort"
)

// Finding is one fault in a catalogue file, with its place.
type Finding struct {
	File string `json:"file"`
	// Line counts from 1; 0 means the file as a whole.
	Line int `json:"line"`
	// Path names the field, such as entries[2].limits.queue.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the finding in the form file:line: path: message.
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Path, f.Message)
}

// findings collects the faults of one file.
type findings struct {
	file  string
	lines map[string]int
	list  []Finding
}

func (f *findings) addAt(line int, path, format string, args ...any) {
	f.list = append(f.list, Finding{File: f.file, Line: line, Path: path, Message: fmt.Sprintf(format, args...)})
}

// add reports a fault of the field at a path. A field that the file leaves out
// is reported at the line of the closest field around it.
func (f *findings) add(path, format string, args ...any) {
	f.addAt(f.line(path), path, format, args...)
}

func (f *findings) line(path string) int {
	for {
		if line, ok := f.lines[path]; ok {
			return line
		}
		parent := parentPath(path)
		if parent == path {
			return 1
		}
		path = parent
	}
}

func parentPath(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

func (f *findings) sorted() []Finding {
	sort.SliceStable(f.list, func(i, j int) bool { return f.list[i].Line < f.list[j].Line })
	return f.list
}
