// Command eventsdoc writes the documentation of all log events to the given file. go generate runs it.
package main

import (
	"fmt"
	"os"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: eventsdoc FILE")
		os.Exit(2)
	}
	if err := os.WriteFile(os.Args[1], []byte(obs.EventsPage()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
