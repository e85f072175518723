package config_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

var _ = Describe("Decode", func() {
	It("reports the field, value and remedy of every problem at once", func() {
		_, err := config.Decode([]byte(`{"node_id":"entry-1","caller_address":"host:7000","operators":[{"team":"","token_sha256":"short"}],"entry_nodes":0}`))
		Expect(err).To(HaveOccurred())
		for _, want := range []string{
			`field zone: value ""`,
			`field entry_nodes: value "0"`,
			`field caller_address: value "host:7000"; remedy: give an IP number and a port`,
			`field platform_address`,
			`field operators[0].token_sha256: value "short"`,
			`field operators[0].team`,
			`field peer_tls.key_file`,
		} {
			Expect(err.Error()).To(ContainSubstring(want))
		}
	})

	It("rejects an unknown field and malformed JSON", func() {
		for _, text := range []string{`{"colour":1}`, `{"node_id":"a"} {}`, `{"node_id":`, `[]`, ``} {
			_, err := config.Decode([]byte(text))
			Expect(err).To(MatchError(ContainSubstring("docs/OPERATIONS.md")), text)
		}
	})
})

// FuzzDecode checks that no input causes a panic and that an accepted
// configuration is accepted again after a JSON round trip.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"node_id":"a","zone":"z","seeds":[null],"operators":[null]}`))
	f.Add([]byte(`{"entry_nodes":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := config.Decode(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(entry)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.Decode(again); err != nil {
			t.Fatalf("an accepted configuration was rejected after a round trip: %v", err)
		}
	})
}
