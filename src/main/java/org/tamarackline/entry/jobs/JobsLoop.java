package org.tamarackline.entry.jobs;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;

import com.google.inject.BindingAnnotation;

/** Marks the binding of the executor on which the state of racks is read and changed. */
@BindingAnnotation
@Retention(RetentionPolicy.RUNTIME)
@interface JobsLoop {}
