package controller

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("the start of placement", func() {
	emptyTargets := func(service string, n int) director.Placeable {
		p := director.Placeable{Service: model.ServiceID(service)}
		for i := range n {
			p.Targets = append(p.Targets, fleet.Target{ID: model.TargetID(fmt.Sprint(service, i))})
		}
		return p
	}
	start := model.Instant(time.Hour)
	// ready returns the services that are planned after a time of planning at each interval.
	ready := func(o *orders, at func(time.Duration) []director.Placeable, until time.Duration) (out []model.ServiceID) {
		for after := time.Duration(0); after <= until; after += planInterval {
			out = nil
			services := at(after)
			for i := range services {
				if o.readyToPlan(start.Add(after), o.planOf(services[i].Service), &services[i]) {
					out = append(out, services[i].Service)
				}
			}
		}
		return out
	}

	// Guards against planning state that services share: with different numbers of empty
	// targets each of them restarted the settling time of the other for ever.
	It("plans each of several services once its own number of targets has settled", func() {
		settled := func(time.Duration) []director.Placeable {
			return []director.Placeable{emptyTargets("a", 9), emptyTargets("b", 8), emptyTargets("c", 8)}
		}
		Expect(ready(newOrders(nil, nil), settled, settleTime-planInterval)).To(BeEmpty())
		Expect(ready(newOrders(nil, nil), settled, settleTime)).To(Equal([]model.ServiceID{"a", "b", "c"}))
	})

	It("plans a service while the targets of another one change for ever, and its orders are open", func() {
		changing := func(after time.Duration) []director.Placeable {
			return []director.Placeable{emptyTargets("a", 9), emptyTargets("b", 8+int(after/planInterval)%2)}
		}
		o := newOrders(nil, nil)
		o.unconfirmed["a0"] = &unconfirmed{}
		Expect(ready(o, changing, 0)).To(Equal([]model.ServiceID{"a"}))
		Expect(ready(newOrders(nil, nil), changing, 2*settleTime)).To(Equal([]model.ServiceID{"a"}))
	})
})
