package engine

// The headers of requests to endpoints and of their responses.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderFence    = "X-Fence"
	HeaderPriority = "X-Priority" // higher runs first
	HeaderAlone    = "X-Alone"    // run with no other request in the batch
	HeaderRan      = "X-Ran"      // in an error response: "no" if the request was not run
	HeaderBoot     = "X-Boot"     // boot number of the responding endpoint
)

// Request is a request to an endpoint. Body is the JSON body of an OpenAI
// completion or chat completion.
type Request struct {
	ID        string
	Path      string // "/v1/completions" or "/v1/chat/completions"
	Body      []byte
	Fence     uint64
	Priority  int  // higher runs first
	Exclusive bool // run with no other request in the batch; sent as HeaderAlone
}

// Chunk is one server-sent event of a stream. Offset counts events from 0; GET
// /v1/streams/ID?offset=N resumes a stream at an offset. Data is the data of the
// event as the endpoint sent it. Last marks the "[DONE]" event, for which Data
// is not set.
type Chunk struct {
	Offset int
	Data   []byte
	Last   bool
}
