// Package main is the program entry.
package main

func main() {}
