package controller

import (
	"fmt"
	"testing"

	"tamarackreach/internal/director"
	"tamarackreach/internal/model"
	"tamarackreach/internal/zonedigest"
)

// BenchmarkDigest measures the encoding and the decoding of a digest of a zone: VMs that each
// have load on all targets of their zone.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []struct{ vms, targets int }{{23, 41}, {34, 1000}} {
		b.Run(fmt.Sprintf("vms=%d/targets=%d", size.vms, size.targets), func(b *testing.B) {
			c := zonedigest.NewCollector()
			var own director.PeerState
			for i := range size.vms {
				own = director.PeerState{
					VM: model.NodeID(fmt.Sprintf("front-zone-%d", i)), Zone: "b", Process: uint32(i * 7919), Loads: map[model.TargetID]director.Load{},
					Relay: director.Relay{Address: fmt.Sprintf("10.1.0.%d:7340", i), Secret: fmt.Sprintf("%032x", i*104729)},
				}
				for k := range size.targets {
					own.Loads[model.TargetID(fmt.Sprintf("i-%010x", k*104729))] = director.Load{Requests: 1 + (k*i)%9, TokenLayers: float64(k * 7919 % 1e5), First: k % 3}
				}
				c.Put(1, own)
			}
			d := c.Digest(1, own)
			text, err := encodeDigest(&d, 1)
			if err != nil {
				b.Fatal(err)
			}
			b.Run("encode", func(b *testing.B) {
				for b.Loop() {
					d := c.Digest(1, own)
					if _, err := encodeDigest(&d, 1); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(text)), "bytes/digest")
			})
			b.Run("decode", func(b *testing.B) {
				for b.Loop() {
					if _, err := decodeDigest(text); err != nil {
						b.Fatal(err)
					}
				}
			})
		})
	}
}
