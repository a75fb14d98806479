// Package decl parses, checks, formats and compares the declarations that
// operators write.
//
// A file is TOML with arrays of tables named after the kinds: [[zone]],
// [[service]], [[upstream]], [[team]] and [[rule]]. The value of a store object
// has the same format with exactly one declaration, so that the concatenated
// values of several objects are a valid file.
//
// Decoding is strict. Every error is a trace.BadParameter that names the file,
// the line and the key. Numbers must be finite. Durations are strings such as
// "250ms". Rates are in requests per second.
package decl
