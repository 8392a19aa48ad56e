/* Makes system calls of a node fail for a while, as Linux documents; loaded by LD_PRELOAD.
 *
 * The file that SOAK_SHIM names is mapped and shared with the fault test, which sets how often each failure
 * happens (in thousandths of the calls) and reads how often it did. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { ACCEPT, CONNECT, SOCKET, OPEN, READ, SHORT, INTERRUPT, PAUSE, CLOCK, FAILURES };

struct failure {
    int32_t thousandths; /* of the calls; for CLOCK the step in seconds */
    int32_t error;       /* errno; for PAUSE the pause in microseconds */
    uint32_t fired;
    uint32_t unused;
};

static struct failure none[FAILURES];
static struct failure *failures = none;
static uint32_t state = 2463534242u;

__attribute__((constructor)) static void map_failures(void) {
    const char *path = getenv("SOAK_SHIM");
    int descriptor = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (descriptor < 0)
        return;
    void *shared = mmap(NULL, sizeof none, PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (shared != MAP_FAILED)
        failures = shared;
}

static int fires(int which) {
    if (failures[which].thousandths <= 0)
        return 0;
    state ^= state << 13, state ^= state >> 17, state ^= state << 5;
    if ((int32_t)(state % 1000u) >= failures[which].thousandths)
        return 0;
    failures[which].fired++;
    return 1;
}

static int fail(int which) {
    errno = failures[which].error;
    return -1;
}

static int is_stream(int descriptor) {
    int type = 0;
    socklen_t size = sizeof type;
    int saved = errno;
    int found = getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
    struct sockaddr address;
    socklen_t length = sizeof address;
    found = found && getsockname(descriptor, &address, &length) == 0 && address.sa_family == AF_INET;
    errno = saved;
    return found;
}

static void pause_before_write(int descriptor) {
    if (failures[PAUSE].thousandths > 0 && is_stream(descriptor) && fires(PAUSE)) {
        struct timespec span = {0, 1000L * failures[PAUSE].error};
        nanosleep(&span, NULL);
    }
}

#define REAL(name) ((typeof(&name))dlsym(RTLD_NEXT, #name))

int accept4(int listener, struct sockaddr *address, socklen_t *length, int flags) {
    return fires(ACCEPT) ? fail(ACCEPT) : REAL(accept4)(listener, address, length, flags);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    if (address->sa_family == AF_INET && fires(CONNECT))
        return fail(CONNECT);
    return REAL(connect)(descriptor, address, length);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && fires(SOCKET))
        return fail(SOCKET);
    return REAL(socket)(domain, type, protocol);
}

static int opens_configuration(const char *path) {
    const char *name = strrchr(path, '/');
    return name != NULL && strcmp(name, "/config.json") == 0;
}

typedef int (*open_call)(const char *, int, ...);

static int open_unless_failing(open_call real, const char *path, int flags, va_list rest) {
    int mode = va_arg(rest, int);
    if (opens_configuration(path) && fires(OPEN))
        return fail(OPEN);
    return real(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    int descriptor = open_unless_failing(REAL(open64), path, flags, rest);
    va_end(rest);
    return descriptor;
}

int open(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    int descriptor = open_unless_failing(REAL(open), path, flags, rest);
    va_end(rest);
    return descriptor;
}

ssize_t read(int descriptor, void *buffer, size_t size) {
    if (failures[READ].thousandths > 0 && is_stream(descriptor) && fires(READ))
        return fail(READ);
    if (failures[SHORT].thousandths > 0 && size > 1 && is_stream(descriptor) && fires(SHORT))
        size = 1;
    return REAL(read)(descriptor, buffer, size);
}

ssize_t write(int descriptor, const void *buffer, size_t size) {
    pause_before_write(descriptor);
    if (failures[SHORT].thousandths > 0 && size > 1 && is_stream(descriptor) && fires(SHORT))
        size = 1;
    return REAL(write)(descriptor, buffer, size);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    pause_before_write(descriptor);
    if (failures[SHORT].thousandths > 0 && is_stream(descriptor) && parts[0].iov_len > 1 && fires(SHORT))
        return REAL(write)(descriptor, parts[0].iov_base, 1);
    return REAL(writev)(descriptor, parts, count);
}

int epoll_pwait(int epoll, struct epoll_event *events, int size, int timeout, const sigset_t *mask) {
    return fires(INTERRUPT) ? fail(INTERRUPT) : REAL(epoll_pwait)(epoll, events, size, timeout, mask);
}

int epoll_wait(int epoll, struct epoll_event *events, int size, int timeout) {
    return fires(INTERRUPT) ? fail(INTERRUPT) : REAL(epoll_wait)(epoll, events, size, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL(clock_gettime)(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && failures[CLOCK].thousandths != 0) {
        time->tv_sec += failures[CLOCK].thousandths;
        failures[CLOCK].fired++;
    }
    return result;
}
