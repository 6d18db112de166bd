/** The platform's front: balancers that speak RESP2. */
package rosecleat.front.resp;
