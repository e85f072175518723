package reducer

import (
	"time"

	"tamarackreach/internal/fault"
)

func badKeyFault() *fault.Fault {
	return &fault.Fault{
		Kind: fault.NotRun, Code: fault.BadKey, Message: "the workspace key is not known",
		Remedy: "send the key of a workspace as a bearer token",
	}
}

func quarantinedFault(kind fault.Kind, remaining time.Duration) *fault.Fault {
	return &fault.Fault{
		Kind: kind, Code: fault.Quarantined, Message: "this content crashed the targets that ran it",
		Remedy: "change the content, or come back after the stated time", RetryAfter: remaining,
	}
}

func capacityFault(kind fault.Kind) *fault.Fault {
	return &fault.Fault{
		Kind: kind, Code: fault.NoCapacity, Message: "a stage of the pipeline has no usable target",
		Remedy: "come back later", RetryAfter: capacityRetryAfter,
	}
}

func retriesFault() *fault.Fault {
	return &fault.Fault{
		Kind: fault.Failed, Code: fault.RetriesExhausted, Message: "the request lost too many targets",
		Remedy: "send the request again", RetryAfter: capacityRetryAfter,
	}
}
