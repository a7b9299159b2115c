/** Which requests with an idempotency key may be sent, and what a repeat of one is answered. */
package org.tamarackline.core.idempotency;
