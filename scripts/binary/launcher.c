/* Starts the interpreter that is appended to this file, in this process.
 *
 * Layout of the binary: this program, the native files, a zip archive of all
 * Python modules whose comment is the trailer. Native files are unpacked once
 * for each build into the directory in memory that the platform names; modules
 * are imported from the binary itself. No other process is started.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <limits.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/vfs.h>
#include <unistd.h>

#define DIRECTORY_VARIABLE "BERGAMOTTHREAD_MEMORY_DIR"
#define TRAILER_BYTES 58 /* "BTBUNDLE1 " digest16 " " offset15 " " size15 */
#define TMPFS_MAGIC 0x01021994
#define RAMFS_MAGIC 0x858458f6
#define EXIT_SETTINGS 2
#define EXIT_START 1
#define COPY_BYTES 65536
#define MAX_PRELOADED 64
#define PRELOAD_PREFIX "lib/preload/"
#define FIXED_ARGUMENTS 6

extern char **environ;

typedef int (*main_function)(int, char **);

static _Noreturn void fail(int code, const char *what, const char *found,
                           const char *expected) {
  fprintf(stderr, "bergamotthread: %s: %s, expected %s\n", what, found,
          expected);
  exit(code);
}

static void format_path(char *path, const char *format, ...) {
  va_list parts;
  va_start(parts, format);
  int length = vsnprintf(path, PATH_MAX, format, parts);
  va_end(parts);
  if (length < 0 || length >= PATH_MAX)
    fail(EXIT_SETTINGS, DIRECTORY_VARIABLE, "too long", "a shorter path");
}

static void read_fully(int file, void *buffer, size_t size) {
  char *next = buffer;
  while (size > 0) {
    ssize_t count = read(file, next, size);
    if (count <= 0)
      fail(EXIT_START, "binary", "truncated", "a whole file");
    next += count;
    size -= (size_t)count;
  }
}

static void make_parents(char *path, size_t from) {
  for (char *slash = strchr(path + from, '/'); slash;
       slash = strchr(slash + 1, '/')) {
    *slash = '\0';
    if (mkdir(path, 0700) && errno != EEXIST)
      fail(EXIT_START, path, strerror(errno), "a directory to unpack into");
    *slash = '/';
  }
}

static void copy_file(int source, const char *path, uint64_t size) {
  static char buffer[COPY_BYTES];
  int target = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0500);
  if (target < 0)
    fail(EXIT_START, path, strerror(errno), "a file to unpack into");
  while (size > 0) {
    size_t part = size < COPY_BYTES ? (size_t)size : COPY_BYTES;
    read_fully(source, buffer, part);
    if (write(target, buffer, part) != (ssize_t)part)
      fail(EXIT_START, path, strerror(errno), "room to unpack into");
    size -= part;
  }
  close(target);
}

static void unpack(int source, const char *directory, uint64_t size) {
  char path[PATH_MAX];
  size_t base = strlen(directory) + 1;
  while (size > 0) {
    uint32_t name_bytes;
    uint64_t file_bytes;
    read_fully(source, &name_bytes, sizeof name_bytes);
    read_fully(source, &file_bytes, sizeof file_bytes);
    if (base + name_bytes + 1 > sizeof path)
      fail(EXIT_START, directory, "too long a path", "a shorter one");
    format_path(path, "%s/", directory);
    read_fully(source, path + base, name_bytes);
    path[base + name_bytes] = '\0';
    make_parents(path, base);
    copy_file(source, path, file_bytes);
    size -= sizeof name_bytes + sizeof file_bytes + name_bytes + file_bytes;
  }
  format_path(path, "%s/lib/python311.zip", directory);
  if (symlink("/proc/self/exe", path))
    fail(EXIT_START, path, strerror(errno), "a link to the binary");
}

static int remove_one(const char *path, const struct stat *state, int kind,
                      struct FTW *place) {
  (void)state, (void)kind, (void)place;
  return remove(path);
}

static int is_own_directory(const char *path) {
  struct stat state;
  if (lstat(path, &state))
    return 0;
  if (!S_ISDIR(state.st_mode) || state.st_uid != geteuid() ||
      (state.st_mode & 077))
    fail(EXIT_SETTINGS, path, "a directory that others can write",
         "one of mode 0700 that this user owns");
  return 1;
}

static const char *memory_directory(void) {
  const char *directory = getenv(DIRECTORY_VARIABLE);
  struct statfs state;
  if (!directory || directory[0] != '/')
    fail(EXIT_SETTINGS, DIRECTORY_VARIABLE, directory ? directory : "not set",
         "the absolute path of a directory in memory");
  if (statfs(directory, &state))
    fail(EXIT_SETTINGS, directory, strerror(errno), "a directory in memory");
  if (state.f_type != TMPFS_MAGIC && state.f_type != (long)RAMFS_MAGIC)
    fail(EXIT_SETTINGS, directory, "a directory on a disk",
         "a directory in memory (tmpfs or ramfs)");
  return directory;
}

static void prepare(char *directory) {
  char trailer[TRAILER_BYTES + 1] = {0}, digest[17];
  char fresh[PATH_MAX];
  unsigned long long offset, size;
  int source = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
  lseek(source, -TRAILER_BYTES, SEEK_END);
  read_fully(source, trailer, TRAILER_BYTES);
  if (sscanf(trailer, "BTBUNDLE1 %16s %llu %llu", digest, &offset, &size) != 3)
    fail(EXIT_START, "binary", "no trailer", "a file made by build-binary");
  const char *parent = memory_directory();
  format_path(directory, "%s/bergamotthread-%s", parent, digest);
  if (!is_own_directory(directory)) {
    format_path(fresh, "%s.%d", directory, (int)getpid());
    if (mkdir(fresh, 0700))
      fail(EXIT_START, fresh, strerror(errno), "a new directory");
    lseek(source, (off_t)offset, SEEK_SET);
    unpack(source, fresh, size);
    if (rename(fresh, directory)) {
      nftw(fresh, remove_one, 16, FTW_DEPTH | FTW_PHYS);
      if (!is_own_directory(directory))
        fail(EXIT_START, directory, strerror(errno), "a directory");
    }
  }
  close(source);
}

static void preload(const char *directory) {
  char path[PATH_MAX], name[NAME_MAX + 1];
  format_path(path, "%s/" PRELOAD_PREFIX "order", directory);
  FILE *order = fopen(path, "r");
  if (!order)
    fail(EXIT_START, path, strerror(errno), "the list of libraries");
  while (fscanf(order, "%255s", name) == 1) {
    format_path(path, "%s/" PRELOAD_PREFIX "%s", directory, name);
    if (!dlopen(path, RTLD_NOW | RTLD_GLOBAL))
      fail(EXIT_START, name, dlerror(), "a library that loads");
  }
  fclose(order);
}

static void clear_python_variables(void) {
  for (char **entry = environ; *entry;) {
    char *equals = strchr(*entry, '=');
    if (!strncmp(*entry, "PYTHON", 6) && equals) {
      char *name = strndup(*entry, (size_t)(equals - *entry));
      unsetenv(name);
      free(name);
    } else {
      entry++;
    }
  }
}

int main(int count, char **arguments) {
  char directory[PATH_MAX];
  prepare(directory);
  preload(directory);
  main_function run = (main_function)dlsym(RTLD_DEFAULT, "Py_BytesMain");
  if (!run)
    fail(EXIT_START, "Py_BytesMain", "missing", "a Python 3.11 library");
  clear_python_variables();
  setenv("PYTHONHOME", directory, 1);
  char *fixed[FIXED_ARGUMENTS] = {arguments[0], "-s", "-B",
                                  "-P",         "-m", "bergamotthread"};
  char **all = calloc((size_t)count + FIXED_ARGUMENTS, sizeof *all);
  memcpy(all, fixed, sizeof fixed);
  memcpy(all + FIXED_ARGUMENTS, arguments + 1, (size_t)count * sizeof *all);
  return run(count - 1 + FIXED_ARGUMENTS, all);
}
