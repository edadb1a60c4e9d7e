package tally

import (
	"time"

	"clementinehead.example/chead/engine"
)

// Served is the outcome of a request that was answered whole. Every other
// outcome is the code of a refusal.
const Served = "served"

// Sample is one request that has had its final answer.
type Sample struct {
	Account string
	Model   string
	Adapter string
	Version string
	Outcome string // Served or a refusal's code
	Ran     engine.Ran
	Tokens  int             // generated and passed on
	First   time.Duration   // from acceptance to the first token, 0 for none
	Gaps    []time.Duration // between tokens
	At      time.Time       // of the final answer
}
