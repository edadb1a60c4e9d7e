// Package view holds an immutable snapshot of the system: the configuration in
// force and the replicas of every fabric domain, as last stored.
//
// Package relay reads the store and makes a new View for each revision that it
// receives. This package does not read the store and knows nothing about the
// health of instances.
package view
