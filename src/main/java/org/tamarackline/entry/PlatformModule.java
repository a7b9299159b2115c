package org.tamarackline.entry;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.HttpPlatformClient;
import org.tamarackline.store.ObjectStore;
import org.tamarackline.store.TableStore;
import org.tamarackline.store.VmDirectory;

/** Binds the table, the object store and the VM directory of the platform to {@link HttpPlatformClient}. */
public final class PlatformModule extends AbstractModule {

    @Override
    protected void configure() {
        bind(TableStore.class).to(HttpPlatformClient.class);
        bind(VmDirectory.class).to(HttpPlatformClient.class);
    }

    @Provides
    @Singleton
    HttpPlatformClient client(EntrySettings settings) {
        return new HttpPlatformClient(settings.platformUrl(), settings.cluster().requestTimeout());
    }

    @Provides
    @Singleton
    ObjectStore objects(HttpPlatformClient client) {
        return client.objects();
    }
}
