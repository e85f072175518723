// Package doccheck checks that the pages of docs/ match the code.
package doccheck

import (
	"expvar"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/config"
	"tamarackreach/internal/settings"
	_ "tamarackreach/internal/telemetry"
)

func TestDocs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "docs")
}

const root = "../.."

func read(path string) string {
	data, err := os.ReadFile(filepath.Join(root, path))
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// jsonNames returns the JSON names of a struct's fields and of its nested structs'
// fields.
func jsonNames(kind reflect.Type) []string {
	switch kind.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		return jsonNames(kind.Elem())
	case reflect.Struct:
	default:
		return nil
	}
	var names []string
	for i := range kind.NumField() {
		field := kind.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" {
			continue
		}
		names = append(names, name)
		names = append(names, jsonNames(field.Type)...)
	}
	return names
}

var _ = Describe("docs/OPERATIONS.md", func() {
	It("names every setting", func() {
		page := read("docs/OPERATIONS.md")
		for _, example := range []any{config.Entry{}, settings.Tree{}} {
			for _, name := range jsonNames(reflect.TypeOf(example)) {
				Expect(page).To(ContainSubstring("`"+name+"`"), "setting %s", name)
			}
		}
	})

	It("names every counter", func() {
		page := read("docs/OPERATIONS.md")
		expvar.Do(func(variable expvar.KeyValue) {
			if strings.HasPrefix(variable.Key, "tamarack_") {
				Expect(page).To(ContainSubstring("`" + variable.Key + "`"))
			}
		})
	})

	// Guards against a metric of an entry VM that an operator finds undocumented.
	It("names every metric of an entry VM", func() {
		page := read("docs/OPERATIONS.md")
		var source strings.Builder
		for _, pattern := range []string{"internal/frontdaemon/*.go", "internal/ingress/*.go"} {
			files, err := filepath.Glob(filepath.Join(root, pattern))
			Expect(err).NotTo(HaveOccurred())
			for _, file := range files {
				data, err := os.ReadFile(file)
				Expect(err).NotTo(HaveOccurred())
				source.Write(data)
			}
		}
		names := regexp.MustCompile(`"(tamarack_[a-z_]+)"`).FindAllStringSubmatch(source.String(), -1)
		Expect(len(names)).To(BeNumerically(">", 10))
		for _, name := range names {
			Expect(page).To(ContainSubstring("`" + name[1] + "`"))
		}
	})

	It("names every error kind", func() {
		page := read("docs/OPERATIONS.md")
		codes := regexp.MustCompile(`Code = "([a-z_]+)"`).FindAllStringSubmatch(read("internal/fault/fault.go"), -1)
		Expect(len(codes)).To(BeNumerically(">", 10))
		for _, code := range codes {
			Expect(page).To(ContainSubstring("`" + code[1] + "`"))
		}
	})
})

var _ = Describe("docs/PROMISES.md", func() {
	It("names only tests that exist", func() {
		named := regexp.MustCompile("`([a-z0-9/]+)` \"([^\"]+)\"").FindAllStringSubmatch(read("docs/PROMISES.md"), -1)
		Expect(named).NotTo(BeEmpty())
		for _, test := range named {
			files, err := filepath.Glob(filepath.Join(root, test[1], "*_test.go"))
			Expect(err).NotTo(HaveOccurred())
			var source strings.Builder
			for _, file := range files {
				data, err := os.ReadFile(file)
				Expect(err).NotTo(HaveOccurred())
				source.Write(data)
			}
			Expect(source.String()).To(ContainSubstring(`"`+test[2]+`"`), "test %q of %s", test[2], test[1])
		}
	})

	It("names the evidence for every row", func() {
		for _, line := range strings.Split(read("docs/PROMISES.md"), "\n") {
			if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") {
				continue
			}
			cells := strings.Split(strings.Trim(line, "| "), "|")
			Expect(len(cells)).To(BeNumerically(">=", 2), line)
			Expect(strings.TrimSpace(cells[1])).NotTo(BeEmpty(), line)
		}
	})
})
