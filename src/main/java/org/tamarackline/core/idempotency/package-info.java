/** Idempotency keys: which requests with a key may be sent, and which response a repeated request gets. */
package org.tamarackline.core.idempotency;
