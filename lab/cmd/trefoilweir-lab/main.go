// Command trefoilweir-lab is built up from the packages of this module.
package main

func main() {}
