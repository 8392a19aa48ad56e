/* A shim that makes system calls of a node fail for a while, with errors that Linux documents. A node loads
 * the shim with LD_PRELOAD.
 *
 * The environment variable SOAK_SHIM contains the path of a file, which the shim maps into memory and shares
 * with the fault test. The fault test writes to the file how often each failure is to happen (in thousandths
 * of the calls), and reads from the file how often each failure has happened. */
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
    int32_t thousandths; /* how many of a thousand calls fail; for CLOCK the step in seconds */
    int32_t error;       /* errno of the failing calls; for PAUSE the length of the pause in microseconds */
    uint32_t fired;      /* how often the failure has happened */
    uint32_t unused;
};

/* The table of failures in the shared file, or a table without failures if no file could be mapped. */
static struct failure no_failures[FAILURES];
static struct failure *failures = no_failures;

static uint32_t random_state = 2463534242u; /* the state of the xorshift random number generator */

/* Maps the shared file into memory when the shim is loaded. */
__attribute__((constructor)) static void map_failures(void) {
    const char *path = getenv("SOAK_SHIM");
    int descriptor = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (descriptor < 0)
        return;
    void *shared = mmap(NULL, sizeof no_failures, PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (shared != MAP_FAILED)
        failures = shared;
}

/* Decides at random whether the failure happens in the present call, and counts it if so. */
static int should_fail(int which) {
    if (failures[which].thousandths <= 0)
        return 0;
    random_state ^= random_state << 13, random_state ^= random_state >> 17, random_state ^= random_state << 5;
    if ((int32_t)(random_state % 1000u) >= failures[which].thousandths)
        return 0;
    failures[which].fired++;
    return 1;
}

/* Sets errno to the error of the failure and returns -1, as a failing system call does. */
static int fail(int which) {
    errno = failures[which].error;
    return -1;
}

/* Returns whether a descriptor is an IPv4 TCP socket; does not change errno. */
static int is_tcp_socket(int descriptor) {
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

/* Pauses the process before it writes to a TCP socket, if the failure PAUSE happens. */
static void pause_before_write(int descriptor) {
    if (failures[PAUSE].thousandths > 0 && is_tcp_socket(descriptor) && should_fail(PAUSE)) {
        struct timespec span = {0, 1000L * failures[PAUSE].error};
        nanosleep(&span, NULL);
    }
}

/* The function of the C library that the shim's function of the same name replaces. */
#define REAL(name) ((typeof(&name))dlsym(RTLD_NEXT, #name))

int accept4(int listener, struct sockaddr *address, socklen_t *length, int flags) {
    return should_fail(ACCEPT) ? fail(ACCEPT) : REAL(accept4)(listener, address, length, flags);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    if (address->sa_family == AF_INET && should_fail(CONNECT))
        return fail(CONNECT);
    return REAL(connect)(descriptor, address, length);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && should_fail(SOCKET))
        return fail(SOCKET);
    return REAL(socket)(domain, type, protocol);
}

/* Returns whether a path is the path of a node's configuration file. */
static int is_configuration_path(const char *path) {
    const char *name = strrchr(path, '/');
    return name != NULL && strcmp(name, "/config.json") == 0;
}

typedef int (*open_function)(const char *, int, ...);

/* Opens a file with the real function, unless the file is the configuration file and the failure happens. */
static int open_unless_failing(open_function real, const char *path, int flags, va_list rest) {
    int mode = va_arg(rest, int);
    if (is_configuration_path(path) && should_fail(OPEN))
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
    if (failures[READ].thousandths > 0 && is_tcp_socket(descriptor) && should_fail(READ))
        return fail(READ);
    if (failures[SHORT].thousandths > 0 && size > 1 && is_tcp_socket(descriptor) && should_fail(SHORT))
        size = 1;
    return REAL(read)(descriptor, buffer, size);
}

ssize_t write(int descriptor, const void *buffer, size_t size) {
    pause_before_write(descriptor);
    if (failures[SHORT].thousandths > 0 && size > 1 && is_tcp_socket(descriptor) && should_fail(SHORT))
        size = 1;
    return REAL(write)(descriptor, buffer, size);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    pause_before_write(descriptor);
    if (failures[SHORT].thousandths > 0 && is_tcp_socket(descriptor) && parts[0].iov_len > 1 &&
        should_fail(SHORT))
        return REAL(write)(descriptor, parts[0].iov_base, 1);
    return REAL(writev)(descriptor, parts, count);
}

int epoll_pwait(int epoll, struct epoll_event *events, int size, int timeout, const sigset_t *mask) {
    return should_fail(INTERRUPT) ? fail(INTERRUPT) : REAL(epoll_pwait)(epoll, events, size, timeout, mask);
}

int epoll_wait(int epoll, struct epoll_event *events, int size, int timeout) {
    return should_fail(INTERRUPT) ? fail(INTERRUPT) : REAL(epoll_wait)(epoll, events, size, timeout);
}

/* Adds the step of CLOCK to the wall clock; the monotonic clock is unchanged. */
int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL(clock_gettime)(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && failures[CLOCK].thousandths != 0) {
        time->tv_sec += failures[CLOCK].thousandths;
        failures[CLOCK].fired++;
    }
    return result;
}
