package catalogue

import (
	"fmt"
	"sort"
)

// Finding is one error in a catalogue file, with its position.
type Finding struct {
	File string `json:"file"`
	// Line is the line number from 1; 0 stands for the file as a whole.
	Line int `json:"line"`
	// Path is the path of the field, such as entries[2].limits.queue.
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

// findings collects the findings of one file.
type findings struct {
	file  string
	lines map[string]int
	list  []Finding
}

func (f *findings) addAt(line int, path, format string, args ...any) {
	f.list = append(f.list, Finding{File: f.file, Line: line, Path: path, Message: fmt.Sprintf(format, args...)})
}

// add adds a finding for the field at a path. A field that the file omits is reported at the line of the
// innermost enclosing field that the file contains.
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
