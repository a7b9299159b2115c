package org.tamarackline.entry.jobs;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;

import com.google.inject.BindingAnnotation;

/** Marks the executor on which the state of the racks is used. */
@BindingAnnotation
@Retention(RetentionPolicy.RUNTIME)
@interface JobsLoop {}
