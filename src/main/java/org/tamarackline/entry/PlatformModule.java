package org.tamarackline.entry;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import org.tamarackline.platform.HttpPlatformClient;
import org.tamarackline.platform.ObjectStore;
import org.tamarackline.platform.TableStore;
import org.tamarackline.platform.VmDirectory;
import org.tamarackline.settings.EntrySettings;

/** Binds the platform's services to the HTTP client. */
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
