package tally

import (
	"time"

	"clementinehead.example/chead/engine"
)

// Served is the outcome of a request that was answered completely. Every other
// outcome is the code of a refusal.
const Served = "served"

// Sample describes one request after its final answer.
type Sample struct {
	Account    string
	Model      string
	Adapter    string
	Version    string
	Outcome    string // Served or a refusal's code
	Ran        engine.Ran
	Tokens     int             // generated and sent to the caller
	FirstToken time.Duration   // from acceptance to the first token, 0 for none
	TokenGaps  []time.Duration // between tokens
	At         time.Time       // of the final answer
}
