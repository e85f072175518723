package attempt

const (
	// budgetDivisor is the part of the delivered work that recovery may add:
	// one tenth.
	budgetDivisor = 10
	// budgetReserve is what a node that has delivered nothing yet may spend, in
	// steps of single stages.
	budgetReserve = 500
	// budgetLimit bounds what is saved up, in steps of single stages.
	budgetLimit = 50_000
)

// Budget bounds the work that recovery adds to the load of the targets. It is
// counted in steps of single stages: one target running its layers for one
// token. Delivered tokens earn a tenth of their steps, attempts after the first
// spend what they cost, so that the targets never get more than 1.1 times the
// delivered work plus the reserve.
type Budget struct {
	// shares holds the budget in parts of one step: budgetDivisor make a step.
	shares int
}

// NewBudget returns a budget that holds the reserve.
func NewBudget() *Budget { return &Budget{shares: budgetReserve * budgetDivisor} }

// Earn adds the share of delivered steps.
func (b *Budget) Earn(steps int) {
	b.shares = min(b.shares+steps, budgetLimit*budgetDivisor)
}

// Spend takes steps from the budget; it is false, and takes nothing, when the
// budget does not cover them.
func (b *Budget) Spend(steps int) bool {
	cost := steps * budgetDivisor
	if b.shares < cost {
		return false
	}
	b.shares -= cost
	return true
}
