package doccheck

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// wireName matches names that only the platform uses: its headers, its calls
// and the fields of its bodies.
var wireName = regexp.MustCompile(`Tamarackreach-|At-Server|rows-get|rows-tx|rows-feed|resource-version|kv-token-bytes|` +
	`traffic-split|api-keys|max-attempts|gap-aim-ms|strict-revoke|fleetbench`)

// deciders are the packages that decide on the users' platform: they are pure.
var deciders = []string{"director", "placement", "paths", "retrybudget", "duty", "fleet"}

// impure are imports that a package that decides must not have.
var impure = []string{"net", "os", "context", "sync", "tamarackreach/platform", "github.com/sirupsen/logrus"}

var _ = Describe("the boundary of the platform", func() {
	It("keeps its names inside platform/", func() {
		for _, dir := range []string{"internal", "cmd"} {
			Expect(filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
				if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
					return err
				}
				text, err := os.ReadFile(path)
				if err != nil {
					return err
				}
				// The soak and its callers stand for the outside.
				if !strings.Contains(path, "internal/soak") {
					Expect(wireName.FindString(string(text))).To(BeEmpty(), path)
				}
				return nil
			})).To(Succeed())
		}
	})

	It("leaves packages that decide without clocks, goroutines and drivers", func() {
		for _, name := range deciders {
			files, err := filepath.Glob(filepath.Join(root, "internal", name, "*.go"))
			Expect(err).NotTo(HaveOccurred())
			Expect(files).NotTo(BeEmpty(), name)
			for _, file := range files {
				if strings.HasSuffix(file, "_test.go") {
					continue
				}
				parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
				Expect(err).NotTo(HaveOccurred())
				for _, i := range parsed.Imports {
					Expect(impure).NotTo(ContainElement(strings.Trim(i.Path.Value, `"`)), file)
				}
				text, err := os.ReadFile(file)
				Expect(err).NotTo(HaveOccurred())
				Expect(string(text)).NotTo(MatchRegexp(`time\.(Now|Since|Sleep|After)\b|\bgo func`), file)
			}
		}
	})

	It("describes every metric in docs/OPERATIONS.md", func() {
		page := read("docs/OPERATIONS.md")
		names := 0
		for _, file := range []string{"internal/front/metrics.go", "internal/frontd/status.go"} {
			for _, name := range regexp.MustCompile(`"(tamarack_[a-z_]+)"`).FindAllStringSubmatch(read(file), -1) {
				names++
				Expect(page).To(ContainSubstring("`" + name[1] + "`"))
			}
		}
		Expect(names).To(BeNumerically(">=", 16))
	})
})
