// Package admission refuses at once what cannot make its deadline.
package admission

import (
	"time"
)

// retryStep is the least time after which a refused caller may come back.
const retryStep = 250 * time.Millisecond

// Admit says whether a request whose chain is expected to give its first token
// after firstToken can make its deadline; if not, it says when to come back.
func Admit(firstToken, within time.Duration) (retryAfter time.Duration, ok bool) {
	if firstToken <= within {
		return 0, true
	}
	return max(retryStep, firstToken-within), false
}
