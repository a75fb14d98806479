// Package main is the program fakes.
package main

func main() {}
