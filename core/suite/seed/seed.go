// Package seed fixes the seed of property-based tests, so that each run of a
// test suite checks the same cases. Test files import it for this side effect.
// The flag -rapid.seed and the environment variable RAPID_SEED override the seed.
package seed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // registers the flag rapid.seed
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
