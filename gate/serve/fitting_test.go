package serve

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// sitePattern matches names of deployments, their zones, services and kinds of
// requests, and of the days that are played on them.
var sitePattern = regexp.MustCompile(`(?i)kereru|ndiaye|chinook|prairie-[a-c]|nz-north|dakar|wording-models|lettering-model|note-writer|order-desk|keeper-desk|(trouble|scale|quiet)-[0-9]`)

// TestNothingKnowsADeployment guards against code or settings that depend on a
// deployment, a day or the bench by name. Pages, the journal, examples, and test
// files, whose stand-ins need names of some kind, are left out.
func TestNothingKnowsADeployment(t *testing.T) {
	g := NewWithT(t)
	root := "../.."
	left := map[string]bool{".git": true, ".bin": true, ".out": true, "target": true, "docs": true, "journal": true, "examples": true, "fakes": true, "bench": true, "tools": true, "scripts": true}
	var found []string
	read := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if left[d.Name()] && filepath.Dir(path) == filepath.Clean(root) {
				return fs.SkipDir
			}
			return nil
		}
		if ext := filepath.Ext(path); ext != ".go" && ext != ".toml" && ext != ".proto" || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		read++
		if m := sitePattern.Find(data); m != nil {
			found = append(found, path+": "+string(m))
		}
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(BeNumerically(">", 100), "source files")
	g.Expect(found).To(BeEmpty())
}
