package attempt

const (
	// budgetDivisor limits the work that recovery may add to one tenth of the
	// delivered work.
	budgetDivisor = 10
	// budgetReserve is the initial budget of a node that has delivered no tokens
	// yet, in steps of single stages.
	budgetReserve = 500
	// budgetLimit is the most budget that accumulates, in steps of single stages.
	budgetLimit = 50_000
)

// Budget is a retry budget: it bounds the load that recovery adds to the targets.
// Its unit is the step of a single stage: one target running its layers for one
// token. Delivered tokens earn a tenth of their steps and attempts after the
// first spend their cost, so the load on the targets never exceeds 1.1 times the
// delivered work plus the reserve.
type Budget struct {
	// tenths is the budget in tenths of a step; budgetDivisor of them make a step.
	tenths int
}

// NewBudget returns a budget with the initial reserve.
func NewBudget() *Budget { return &Budget{tenths: budgetReserve * budgetDivisor} }

// Earn adds a tenth of the delivered steps, up to the limit.
func (b *Budget) Earn(steps int) {
	b.tenths = min(b.tenths+steps, budgetLimit*budgetDivisor)
}

// Spend takes steps from the budget. It returns false and takes nothing when the
// budget does not cover them.
func (b *Budget) Spend(steps int) bool {
	cost := steps * budgetDivisor
	if b.tenths < cost {
		return false
	}
	b.tenths -= cost
	return true
}
