// Package testseed fixes the seed of property tests, so that repeated test runs have the same result. Tests
// import it for its side effect. The command-line flag -rapid.seed overrides the seed.
package testseed

import (
	"flag"

	// Registers the flag -rapid.seed.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
