// Command stoatpaddle runs an entry instance of the layer-4 load balancer, and is the tool of its operators.
package main
