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

// batch is the content of declaration files, in the order of application.
type batch struct {
	declarations []decl.Declaration
	// versions has the objects' versions for declarations that name one.
	versions map[core.Key]uint64
}

// read reads files, and the *.toml files of directories.
func read(paths []string) (batch, error) {
	b := batch{versions: map[core.Key]uint64{}}
	from := map[core.Key]string{}
	for _, path := range paths {
		files, err := expand(path)
		if err != nil {
			return b, fail(Usage, err)
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				return b, fail(Usage, trace.ConvertSystemError(err))
			}
			ds, versions, err := decl.ParseWithVersions(file, data)
			if err != nil {
				return b, fail(Invalid, err)
			}
			for _, d := range ds {
				if other, ok := from[d.Key()]; ok {
					return b, fail(Invalid, trace.BadParameter("%s: %s %q is declared in %s, too",
						file, d.Key().Kind, d.Key().Name, other))
				}
				from[d.Key()] = file
				b.declarations = append(b.declarations, d)
			}
			for k, v := range versions {
				b.versions[k] = v
			}
		}
	}
	slices.SortStableFunc(b.declarations, func(x, y decl.Declaration) int {
		return slices.Index(core.DeclarationKinds, x.Key().Kind) - slices.Index(core.DeclarationKinds, y.Key().Kind)
	})
	return b, nil
}

func expand(path string) ([]string, error) {
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
