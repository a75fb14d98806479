package serve_test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core/process/conf"
	"parsleyroute.example/gate/serve"
)

// alwaysPresent lists the fields that every deployment passes to every process.
// The fields of a feature that a deployment does not use are absent.
var alwaysPresent = []string{
	"node_name", "zone", "ip", "port_range.0", "port_range.1", "platform.address",
	"listen.frontend", "listen.readiness", "listen.control_plane",
}

// TestTemplates guards against settings files that cannot be parsed in a
// deployment that lacks a field: without the feature for experts, all gates
// exited at startup, since a key had no value.
func TestTemplates(t *testing.T) {
	g := NewWithT(t)
	section := regexp.MustCompile(`(?s)\{\{#([a-z_0-9.]+)\}\}.*?\{\{/([a-z_0-9.]+)\}\}`)
	placeholder := regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`)
	for _, name := range []string{"gate.toml", "rank.toml"} {
		data, err := os.ReadFile("../../deploy/" + name)
		g.Expect(err).NotTo(HaveOccurred())
		for _, m := range section.FindAllStringSubmatch(string(data), -1) {
			g.Expect(m[1]).To(Equal(m[2]), name)
		}
		unconditional := section.ReplaceAllString(string(data), "")
		for _, m := range placeholder.FindAllStringSubmatch(unconditional, -1) {
			g.Expect(slices.Contains(alwaysPresent, m[1])).To(BeTrue(), "%s: {{%s}} is not in every deployment", name, m[1])
		}
	}
}

const minimalSettings = `instance = "a"
zone = "z"
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
peers = "127.0.0.1:3"
store = "127.0.0.1:4"
`

// TestSettings guards against settings that are rejected although all required
// keys are present, and against invalid ones that are accepted.
func TestSettings(t *testing.T) {
	g := NewWithT(t)
	check := func(text string) error {
		var s serve.Settings
		if err := conf.Decode("gate.toml", []byte(text), &s); err != nil {
			return err
		}
		return s.Check()
	}
	g.Expect(check(minimalSettings)).To(Succeed())
	for text, message := range map[string]string{
		minimalSettings + "zones = 3\n":                     `gate.toml:7: unknown key "zones"`,
		minimalSettings + "grace = \"3 h\"\n":               `"3 h" is not a duration`,
		strings.Replace(minimalSettings, "callers", "#", 1): "setting callers",
		strings.Replace(minimalSettings, `"z"`, `""`, 1):    "setting zone",
		minimalSettings + "memory = -1\n":                   "memory",
		minimalSettings + "[retry]\nratio = -0.1\n":         "retry",
		minimalSettings + "[cold]\nslack = -1\n":            "cold",
		strings.Replace(minimalSettings, ":4", "", 1):       "store",
	} {
		g.Expect(check(text)).To(MatchError(ContainSubstring(message)), text)
	}
}
