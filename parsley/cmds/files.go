package cmds

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/decl"
)

// declarationSet is the content of declaration files, in the order in which apply
// writes it.
type declarationSet struct {
	declarations []decl.Declaration
	// versions holds the expected object version of each declaration that
	// specifies one.
	versions map[core.Key]uint64
}

// readDeclarations reads the given files, and the *.toml files in the given
// directories.
func readDeclarations(paths []string) (declarationSet, error) {
	set := declarationSet{versions: map[core.Key]uint64{}}
	declaredIn := map[core.Key]string{}
	for _, path := range paths {
		files, err := listFiles(path)
		if err != nil {
			return set, withCode(Usage, err)
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				return set, withCode(Usage, trace.ConvertSystemError(err))
			}
			declarations, versions, err := decl.ParseWithVersions(file, data)
			if err != nil {
				return set, withCode(Invalid, err)
			}
			for _, d := range declarations {
				if otherFile, ok := declaredIn[d.Key()]; ok {
					return set, withCode(Invalid, trace.BadParameter("%s: %s %q is already declared in %s",
						file, d.Key().Kind, d.Key().Name, otherFile))
				}
				declaredIn[d.Key()] = file
				set.declarations = append(set.declarations, d)
			}
			for k, v := range versions {
				set.versions[k] = v
			}
		}
	}
	slices.SortStableFunc(set.declarations, func(x, y decl.Declaration) int {
		return slices.Index(core.DeclarationKinds, x.Key().Kind) - slices.Index(core.DeclarationKinds, y.Key().Kind)
	})
	return set, nil
}

func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var files []string
	for _, e := range entries {
		if !e.IsDir() && strings.HasSuffix(e.Name(), ".toml") {
			files = append(files, filepath.Join(path, e.Name()))
		}
	}
	if len(files) == 0 {
		return nil, trace.NotFound("%s has no *.toml files", path)
	}
	return files, nil
}
