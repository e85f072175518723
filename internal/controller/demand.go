package controller

import (
	"math"

	"tamarackreach/internal/model"
)

const (
	// demandUnits is the number of units of a demand in one request per second.
	demandUnits = 100
	// maxDemand is the largest demand that a VM can state of a service, in requests per
	// second, and maxDemands the number of services of which a message is believed.
	maxDemand, maxDemands = 1e6, 256
)

// demand encodes the demand for services as integers, because traffic between zones is
// charged by the byte: hundredths of requests per second.
type demand map[model.ServiceID]int64

func encodeDemand(perSecond map[model.ServiceID]float64) *demand {
	if perSecond == nil {
		return nil
	}
	out := make(demand, len(perSecond))
	for id, rate := range perSecond {
		out[id] = int64(math.Round(min(max(rate, 0), maxDemand) * demandUnits))
	}
	return &out
}

// decode returns the demand in requests per second, nil when it is not known. One that is out
// of range makes all that the message states unknown.
func (d *demand) decode() map[model.ServiceID]float64 {
	if d == nil || *d == nil || len(*d) > maxDemands {
		return nil
	}
	out := make(map[model.ServiceID]float64, len(*d))
	for id, units := range *d {
		if units < 0 || units > maxDemand*demandUnits || id == "" {
			return nil
		}
		out[id] = float64(units) / demandUnits
	}
	return out
}
