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

// platformName matches names of the platform's protocol: its headers, its calls
// and the fields of its bodies.
var platformName = regexp.MustCompile(`Tamarackreach-|At-Server|rows-get|rows-tx|rows-feed|resource-version|kv-token-bytes|` +
	`traffic-split|api-keys|max-attempts|gap-aim-ms|strict-revoke|fleetbench`)

// purePackages are the packages with the deciding code on the users' platform.
// They have no side effects.
var purePackages = []string{
	"director", "placement", "paths", "retrybudget", "placementlease", "fleet",
	"loadview", "loadestimate", "priorityadmission", "zonedigest", "membership", "storereplica", "storereads", "zoneoverflow", "outlier",
}

// forbiddenImports are imports that a pure package must not have.
var forbiddenImports = []string{"net", "os", "context", "sync", "tamarackreach/platform", "github.com/sirupsen/logrus"}

var _ = Describe("the platform boundary", func() {
	It("keeps the names of the platform's protocol inside platform/", func() {
		for _, dir := range []string{"internal", "cmd"} {
			Expect(filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
				if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
					return err
				}
				text, err := os.ReadFile(path)
				if err != nil {
					return err
				}
				// internal/soak simulates clients, which use the protocol directly.
				if !strings.Contains(path, "internal/soak") {
					Expect(platformName.FindString(string(text))).To(BeEmpty(), path)
				}
				return nil
			})).To(Succeed())
		}
	})

	It("keeps deciding packages free of clocks, goroutines and drivers", func() {
		for _, name := range purePackages {
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
					Expect(forbiddenImports).NotTo(ContainElement(strings.Trim(i.Path.Value, `"`)), file)
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
		for _, file := range []string{"internal/ingress/metrics.go", "internal/frontdaemon/status.go", "internal/frontdaemon/limits.go"} {
			for _, name := range regexp.MustCompile(`"(tamarack_[a-z_]+)"`).FindAllStringSubmatch(read(file), -1) {
				names++
				Expect(page).To(ContainSubstring("`" + name[1] + "`"))
			}
		}
		Expect(names).To(BeNumerically(">=", 16))
	})
})
