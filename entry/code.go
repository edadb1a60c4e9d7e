package entry

import "net/http"

// Code says why a request was refused or failed. Refusals contain its String.
type Code int

// The codes. The comments give their strings in refusals, metrics and the usage
// report.
const (
	BadPath            Code = iota // path
	BadMethod                      // method
	BadKey                         // key
	BadHeader                      // header
	BadJSON                        // json
	BadRequest                     // request
	TooLarge                       // large
	NoModel                        // model
	NoService                      // service
	NotAllowed                     // account
	NotReady                       // unready
	Busy                           // busy
	Throttled                      // throttled
	Unavailable                    // unavailable
	Suspect                        // suspect
	Timeout                        // timeout
	Broken                         // broken
	Crashed                        // crashed
	Cancelled                      // cancelled
	RecordsUnavailable             // records
	Pending                        // pending
	OutcomeUnknown                 // unsettled
	AnswerNotKept                  // unkept
	Reused                         // reused
	Expired                        // expired
	Replayed                       // replayed
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Code -linecomment -output=code_string.go

// The values of error.type in OpenAI's error format.
const (
	typeRequest    = "invalid_request_error"
	typeKey        = "authentication_error"
	typePermission = "permission_error"
	typeRate       = "rate_limit_error"
	typeServer     = "server_error"
)

// meaning is a code's representation in an answer.
type meaning struct {
	status    int
	errorType string // error.type
	text      string // error.message
}

// meanings has an entry for every code.
var meanings = map[Code]meaning{
	BadPath:            {http.StatusNotFound, typeRequest, "there is nothing at this path"},
	BadMethod:          {http.StatusMethodNotAllowed, typeRequest, "the path does not take this method"},
	BadKey:             {http.StatusUnauthorized, typeKey, "no or wrong bearer key"},
	BadHeader:          {http.StatusBadRequest, typeRequest, "a header can't be read"},
	BadJSON:            {http.StatusBadRequest, typeRequest, "the body is not a JSON object"},
	BadRequest:         {http.StatusUnprocessableEntity, typeRequest, "the request makes no sense"},
	TooLarge:           {http.StatusRequestEntityTooLarge, typeRequest, "the body is too large"},
	NoModel:            {http.StatusNotFound, typeRequest, "there is no such model"},
	NoService:          {http.StatusNotFound, typeRequest, "there is no such service"},
	NotAllowed:         {http.StatusForbidden, typePermission, "the client account may not use this"},
	NotReady:           {http.StatusServiceUnavailable, typeServer, "this daemon is not ready"},
	Busy:               {http.StatusServiceUnavailable, typeServer, "no capacity in time"},
	Throttled:          {http.StatusTooManyRequests, typeRate, "the client account's limit is reached"},
	Unavailable:        {http.StatusServiceUnavailable, typeServer, "nothing serves this now"},
	Suspect:            {http.StatusUnprocessableEntity, typeRequest, "the request crashed endpoints and is refused for good"},
	Timeout:            {http.StatusGatewayTimeout, typeServer, "the deadline has passed"},
	Broken:             {http.StatusBadGateway, typeServer, "the connection to the endpoint failed"},
	Crashed:            {http.StatusBadGateway, typeServer, "the endpoint failed while it ran the request"},
	Cancelled:          {statusCancelled, typeRequest, "the caller went away"},
	RecordsUnavailable: {http.StatusServiceUnavailable, typeServer, "not-repeatable requests can't be recorded now"},
	Pending:            {http.StatusConflict, typeRequest, "another attempt of this request is in progress"},
	OutcomeUnknown:     {http.StatusConflict, typeRequest, "an earlier attempt may have run and its answer is lost"},
	AnswerNotKept:      {http.StatusConflict, typeRequest, "an earlier attempt ran; its answer was too large to keep"},
	Reused:             {http.StatusUnprocessableEntity, typeRequest, "the request id stands for another body"},
	Expired:            {http.StatusUnprocessableEntity, typeRequest, "the request's own time lies outside the window"},
	Replayed:           {http.StatusOK, "", "an earlier attempt's answer was sent again"},
}

// statusCancelled is the status that nginx uses for a request whose caller
// disconnected. No caller reads it.
const statusCancelled = 499

// Meaning returns a code's HTTP status and message.
func (i Code) Meaning() (status int, message string) {
	m := meanings[i]
	return m.status, m.text
}
