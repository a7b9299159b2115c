/** Reading of JSON from other processes within bounds on its depth and on its numbers. */
package org.tamarackline.json;
