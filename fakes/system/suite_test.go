package system_test

import (
	"testing"

	"github.com/onsi/gomega/format"

	"parsleyroute.example/core/suite/seed"
)

func TestSystem(t *testing.T) {
	format.MaxLength = 20_000
	seed.RunSpecs(t, "system")
}
