package org.tamarackline.entry;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;

import com.google.inject.BindingAnnotation;

/** Marks the Jersey resources served to callers, bound with a Guice set binder of {@code Object}. */
@BindingAnnotation
@Retention(RetentionPolicy.RUNTIME)
public @interface CallerApi {}
