// Package story tells what happened to one request, from the logs of all
// daemons: who decided what, when, on which knowledge, and how old that was. It
// reads lines as package lines writes them, and knows nothing that they don't
// say.
package story
