// Package forms describes the types whose JSON other builds of the program read, and fills
// values of them. Tests use it to keep them readable while two builds run side by side. It
// reads no messages itself, and no product code imports it.
package forms
