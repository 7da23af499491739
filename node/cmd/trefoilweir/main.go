// Command trefoilweir is built up from the packages of this module.
package main

func main() {}
