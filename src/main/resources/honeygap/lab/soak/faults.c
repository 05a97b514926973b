/*
 * System call faults for soak runs, loaded into an agent by LD_PRELOAD: socket calls fail temporarily with errors that
 * Linux documents, reads and writes are short, waits are interrupted, and the wall clock is stepped. The monotonic
 * clock is not changed. HONEYGAP_FAULT_RATE: one in this many calls fails, 0 for none. HONEYGAP_FAULT_SEED: seed of the
 * faults. HONEYGAP_CLOCK_FILE: file with the offset of the wall clock in seconds, as text.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static atomic_ulong calls;

static unsigned long setting(const char *name) {
    const char *text = getenv(name);
    return text ? strtoul(text, 0, 10) : 0;
}

/* Returns 0 for no fault, or a positive random number that selects the kind of fault. */
static unsigned long fault(void) {
    static unsigned long rate, seed;
    static atomic_int known;
    if (!known) {
        rate = setting("HONEYGAP_FAULT_RATE");
        seed = setting("HONEYGAP_FAULT_SEED");
        known = 1;
    }
    if (!rate) {
        return 0;
    }
    uint64_t x = (atomic_fetch_add(&calls, 1) + 1) * 0x9E3779B97F4A7C15ull + seed * 0xD1B54A32D192ED03ull;
    x ^= x >> 32;
    x *= 0xD6E8FEB86659FD93ull;
    x ^= x >> 32;
    return x % rate == 0 ? 1 + (x >> 20) % 1000 : 0;
}

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

#define NEXT(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))

/* Marks accepted connections. They get no errors: an error means that the client is gone, but it is still connected. */
#define DESCRIPTORS 65536
static atomic_char accepted[DESCRIPTORS];

static int is_accepted(int fd) {
    return fd >= 0 && fd < DESCRIPTORS && accepted[fd];
}

static int note_accepted(int fd, int is_so) {
    if (fd >= 0 && fd < DESCRIPTORS) {
        accepted[fd] = is_so;
    }
    return fd;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EPROTO, EINTR};
    unsigned long drawn = fault();
    if (drawn) {
        errno = errors[drawn % 6];
        return -1;
    }
    return note_accepted(NEXT(accept)(fd, address, length), 1);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};
    unsigned long drawn = fault();
    if (drawn && address->sa_family == AF_INET) {
        errno = errors[drawn % 3];
        return -1;
    }
    return NEXT(connect)(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS, EMFILE};
    unsigned long drawn = domain == AF_INET ? fault() : 0;
    if (drawn) {
        errno = errors[drawn % 3];
        return -1;
    }
    return note_accepted(NEXT(socket)(domain, type, protocol), 0);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    if (fault()) {
        errno = EINTR;
        return -1;
    }
    return NEXT(epoll_wait)(fd, events, most, timeout);
}

ssize_t read(int fd, void *buffer, size_t length) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    unsigned long drawn = length > 1 && is_socket(fd) ? fault() : 0;
    if (drawn && drawn % 4 == 0 && !is_accepted(fd)) {
        errno = errors[drawn / 4 % 3];
        return -1;
    }
    return NEXT(read)(fd, buffer, drawn ? 1 + drawn % 7 : length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    unsigned long drawn = length > 1 && is_socket(fd) ? fault() : 0;
    return NEXT(write)(fd, buffer, drawn ? 1 + drawn % (length - 1) : length);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    unsigned long drawn = is_socket(fd) ? fault() : 0;
    return NEXT(writev)(fd, parts, drawn ? 1 : count);
}

static long clock_step(void) {
    static atomic_long step;
    static atomic_ulong looks;
    const char *file = getenv("HONEYGAP_CLOCK_FILE");
    if (file && atomic_fetch_add(&looks, 1) % 16 == 0) {
        char text[32] = {0};
        int fd = open(file, O_RDONLY | O_CLOEXEC);
        if (fd >= 0) {
            if (NEXT(read)(fd, text, sizeof text - 1) > 0) {
                step = strtol(text, 0, 10);
            }
            close(fd);
        }
    }
    return step;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int outcome = NEXT(clock_gettime)(clock, time);
    if (outcome == 0 && clock == CLOCK_REALTIME) {
        time->tv_sec += clock_step();
    }
    return outcome;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    int outcome = NEXT(gettimeofday)(time, zone);
    if (outcome == 0) {
        time->tv_sec += clock_step();
    }
    return outcome;
}
