package engine

// The headers of a request to an endpoint, and of its answers.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderFence    = "X-Fence"
	HeaderPriority = "X-Priority"
	HeaderAlone    = "X-Alone" // run with no other request in the batch
	HeaderRan      = "X-Ran"   // on a refusal: "no" when the request was not run
	HeaderBoot     = "X-Boot"  // boot number of the endpoint that answers
)

// Request is one request as it goes to an endpoint. Body is JSON in the form
// of OpenAI's completions or chat completions.
type Request struct {
	ID       string
	Path     string // "/v1/completions" or "/v1/chat/completions"
	Body     []byte
	Fence    uint64
	Priority int
	Alone    bool
}

// Chunk is one server-sent event of an answer. Offset counts from 0; an
// endpoint resumes a stream at an offset, GET /v1/streams/ID?offset=N. Data is
// the event's data as the endpoint sent it. Last marks the "[DONE]" event,
// which has no other data.
type Chunk struct {
	Offset int
	Data   []byte
	Last   bool
}
