// Package seed fixes the seed of property-based tests, so that each run of a
// test suite gives the same verdict. Test files import it for its effect. The
// flag -rapid.seed and the environment variable RAPID_SEED override it.
package seed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // registers the flag that init sets
)

func init() {
	value := os.Getenv("RAPID_SEED")
	if value == "" {
		value = "1"
	}
	if err := flag.Set("rapid.seed", value); err != nil {
		panic(err)
	}
}
