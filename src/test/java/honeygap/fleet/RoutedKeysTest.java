package honeygap.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against memory that grows with the number of different keys. */
class RoutedKeysTest {

    @Test
    void keysAreFoundAndOthersAreNot() {
        RoutedKeys keys = new RoutedKeys();
        for (int i = 0; i < 50_000; i++) {
            keys.add("key" + i);
            keys.add("key" + i / 2);
        }
        assertEquals(50_000, keys.size());
        for (int i = 0; i < 50_000; i++) {
            assertTrue(keys.contains("key" + i));
            assertFalse(keys.contains("other" + i));
        }
        keys.clear();
        assertEquals(0, keys.size());
        assertFalse(keys.contains("key1"));
    }

    @Test
    void keysThatAreEverNewFillTheTableAndNoMore() {
        RoutedKeys keys = new RoutedKeys();
        for (int i = 0; i < 3 * RoutedKeys.MAX_KEYS; i++) {
            keys.add("key" + i);
        }
        assertTrue(keys.isFull());
        assertEquals(RoutedKeys.MAX_KEYS, keys.size());
        assertTrue(keys.contains("key" + (RoutedKeys.MAX_KEYS - 1)));
        assertFalse(keys.contains("key" + RoutedKeys.MAX_KEYS));
    }
}
