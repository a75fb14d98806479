package system_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/format"
)

func TestSystem(t *testing.T) {
	RegisterFailHandler(Fail)
	format.MaxLength = 20_000
	RunSpecs(t, "system")
}
