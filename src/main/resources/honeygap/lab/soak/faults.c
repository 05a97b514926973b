/*
 * Injects system call faults in soak tests, loaded into an agent by LD_PRELOAD: socket calls fail temporarily with errors
 * that Linux documents, reads and writes are short, waits are interrupted, and the wall clock is stepped. The monotonic
 * clock is not changed. HONEYGAP_FAULT_RATE is the number of calls per fault, 0 for no faults; HONEYGAP_FAULT_SEED seeds
 * the choice; HONEYGAP_CLOCK_FILE names a text file with the wall clock step in seconds.
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

static unsigned long env_number(const char *name) {
    const char *text = getenv(name);
    return text ? strtoul(text, 0, 10) : 0;
}

/* Draws whether the next call fails: 0 for no fault, otherwise a random number that selects the kind of fault. */
static unsigned long draw_fault(void) {
    static unsigned long rate, seed;
    static atomic_int is_initialized;
    if (!is_initialized) {
        rate = env_number("HONEYGAP_FAULT_RATE");
        seed = env_number("HONEYGAP_FAULT_SEED");
        is_initialized = 1;
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

/* Marks accepted connections. They get no read errors: that would look as if the client, which is alive, had gone. */
#define MAX_DESCRIPTORS 65536
static atomic_char accepted[MAX_DESCRIPTORS];

static int is_accepted(int fd) {
    return fd >= 0 && fd < MAX_DESCRIPTORS && accepted[fd];
}

static int mark_accepted(int fd, int is_accepted_socket) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS) {
        accepted[fd] = is_accepted_socket;
    }
    return fd;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EPROTO, EINTR};
    unsigned long drawn = draw_fault();
    if (drawn) {
        errno = errors[drawn % 6];
        return -1;
    }
    return mark_accepted(NEXT(accept)(fd, address, length), 1);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};
    unsigned long drawn = draw_fault();
    if (drawn && address->sa_family == AF_INET) {
        errno = errors[drawn % 3];
        return -1;
    }
    return NEXT(connect)(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS, EMFILE};
    unsigned long drawn = domain == AF_INET ? draw_fault() : 0;
    if (drawn) {
        errno = errors[drawn % 3];
        return -1;
    }
    return mark_accepted(NEXT(socket)(domain, type, protocol), 0);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    if (draw_fault()) {
        errno = EINTR;
        return -1;
    }
    return NEXT(epoll_wait)(fd, events, max_events, timeout);
}

ssize_t read(int fd, void *buffer, size_t length) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    unsigned long drawn = length > 1 && is_socket(fd) ? draw_fault() : 0;
    if (drawn && drawn % 4 == 0 && !is_accepted(fd)) {
        errno = errors[drawn / 4 % 3];
        return -1;
    }
    return NEXT(read)(fd, buffer, drawn ? 1 + drawn % 7 : length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    unsigned long drawn = length > 1 && is_socket(fd) ? draw_fault() : 0;
    return NEXT(write)(fd, buffer, drawn ? 1 + drawn % (length - 1) : length);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    unsigned long drawn = is_socket(fd) ? draw_fault() : 0;
    return NEXT(writev)(fd, parts, drawn ? 1 : count);
}

static long clock_step(void) {
    static atomic_long step;
    static atomic_ulong reads;
    const char *file = getenv("HONEYGAP_CLOCK_FILE");
    if (file && atomic_fetch_add(&reads, 1) % 16 == 0) {
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
    int result = NEXT(clock_gettime)(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME) {
        time->tv_sec += clock_step();
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    int result = NEXT(gettimeofday)(time, zone);
    if (result == 0) {
        time->tv_sec += clock_step();
    }
    return result;
}
