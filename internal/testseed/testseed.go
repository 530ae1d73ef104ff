// Package testseed fixes the seed of property tests, so that a test run has the
// same verdict each time. Tests import it for its effect. The flag -rapid.seed
// on the command line still wins.
package testseed

import (
	"flag"

	// Registers the flag that init sets.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
