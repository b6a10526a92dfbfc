"""Builds the binary: launcher, native files and a zip archive of modules."""

from __future__ import annotations

import argparse
import hashlib
import importlib.metadata
import io
import py_compile
import re
import shutil
import struct
import subprocess
import sys
import sysconfig
import tempfile
import tomllib
import zipfile
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
LAUNCHER = Path(__file__).parent / 'launcher.c'
NATIVE_SITE_PACKAGES = 'lib/python3.11/site-packages'
NATIVE_STDLIB = 'lib/python3.11/lib-dynload'
PRELOAD = 'lib/preload'
OWN_PACKAGES = ('bergamotthread', 'standins')
# Fixed, so that the archive does not depend on the time of the build.
ZIP_DATE = (1980, 1, 1, 0, 0, 0)
# Not needed at run time, or added separately (lib-dynload, site-packages).
EXCLUDED_STDLIB = {
    '__pycache__', 'config-3.11-x86_64-linux-gnu', 'distutils', 'ensurepip',
    'idlelib', 'lib-dynload', 'lib2to3', 'pydoc_data', 'site-packages',
    'test', 'tests', 'tkinter', 'turtledemo', 'turtle.py', 'venv',
}  # fmt: skip
EXCLUDED_EXTENSIONS = re.compile(
    r'(_test|_xx|xx|_tkinter|_curses|readline|_dbm|_gdbm|nis|ossaudiodev)',
)
# The C library, which every machine has; libpython, which is added separately.
EXCLUDED_LIBRARIES = re.compile(
    r'(ld-linux|libc|libm|libdl|librt|libpthread|libutil|libresolv|libnsl'
    r'|linux-vdso|libpython)[.\-0-9]',
)


class BuildError(Exception):
    """A tool, library or build step that the binary needs failed."""


class Bundle:
    """Files to be written to the binary.

    Attributes
    ----------
    native_by_name
        Files to be unpacked at the first start, by their relative path.
    modules_by_name
        Files of the zip archive, by their name in it.
    """

    def __init__(self, staging: Path) -> None:
        self.native_by_name: dict[str, bytes] = {}
        self.modules_by_name: dict[str, bytes] = {}
        self._staging = staging

    def add_module(self, path: Path, name: str) -> None:
        """Add a compiled module; one of OWN_PACKAGES with its source."""
        if name.startswith(OWN_PACKAGES):
            self.modules_by_name[name] = path.read_bytes()
        self.modules_by_name[f'{name}c'] = self.compile(path, name)

    def compile(self, path: Path, name: str) -> bytes:
        """Return the .pyc content of a module.

        It is imported without a comparison with the source, most of which the
        binary doesn't have.
        """
        target = self._staging / 'module.pyc'
        py_compile.compile(
            str(path),
            cfile=str(target),
            dfile=name,
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        return target.read_bytes()


def add_stdlib(bundle: Bundle) -> None:
    """Add the standard library and its extension modules."""
    stdlib = Path(sysconfig.get_path('stdlib'))
    for path in sorted(stdlib.rglob('*.py')):
        relative = path.relative_to(stdlib)
        if not EXCLUDED_STDLIB.intersection(relative.parts):
            bundle.add_module(path, str(relative))
    for path in sorted((stdlib / 'lib-dynload').glob('*.so')):
        if not EXCLUDED_EXTENSIONS.match(path.name):
            name = f'{NATIVE_STDLIB}/{path.name}'
            bundle.native_by_name[name] = read_stripped(path)


def runtime_distributions() -> list[importlib.metadata.Distribution]:
    """Return the distributions that the project needs, also indirectly."""
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())['project']
    pending = list(project['dependencies'])
    by_name: dict[str, importlib.metadata.Distribution] = {}
    while pending:
        requirement = pending.pop()
        name, _, marker = requirement.partition(';')
        key = re.split(r'[^A-Za-z0-9_.\-]', name.strip())[0].lower()
        if 'extra' in marker or key in by_name:
            continue
        try:
            by_name[key] = importlib.metadata.distribution(key)
        except importlib.metadata.PackageNotFoundError:
            if not marker:
                raise
            continue
        pending.extend(by_name[key].requires or ())
    return [by_name[key] for key in sorted(by_name)]


def add_distribution(
    bundle: Bundle,
    distribution: importlib.metadata.Distribution,
) -> None:
    """Add the files of a distribution.

    A package with extension modules is unpacked whole, since these can't be
    loaded from a zip archive.
    """
    files = [file for file in distribution.files or () if '..' not in str(file)]
    native_packages = {
        file.parts[0] for file in files if '.so' in file.suffixes
    }
    for file in files:
        path = Path(str(file.locate()))
        name = str(file)
        if file.suffix in {'.pyc', '.pyi', '.pxd', '.h', '.c', '.pyx'}:
            continue
        if file.parts[0] in native_packages:
            add_native(bundle, path, name)
        elif file.suffix == '.py':
            bundle.add_module(path, name)
        elif is_read_at_run_time(file):
            bundle.modules_by_name[name] = path.read_bytes()


def is_read_at_run_time(file: importlib.metadata.PackagePath) -> bool:
    """Return whether a file other than a module is read at run time."""
    if file.parts[0].endswith('.dist-info'):
        return file.name in {'METADATA', 'entry_points.txt'}
    return True


def add_native(bundle: Bundle, path: Path, name: str) -> None:
    """Add a file of a package that has extension modules."""
    target = f'{NATIVE_SITE_PACKAGES}/{name}'
    if '.so' in path.suffixes:
        bundle.native_by_name[target] = read_stripped(path)
    elif path.suffix == '.py':
        bundle.native_by_name[f'{target}c'] = bundle.compile(path, name)
    elif path.suffix != '.md':
        bundle.native_by_name[target] = path.read_bytes()


def add_own_packages(bundle: Bundle) -> None:
    """Add the project's packages and its metadata."""
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())['project']
    for package in OWN_PACKAGES:
        for path in sorted((ROOT / package).rglob('*.py')):
            bundle.add_module(path, str(path.relative_to(ROOT)))
    name, version = project['name'], project['version']
    metadata = f'Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n'
    directory = f'{name}-{version}.dist-info'
    bundle.modules_by_name[f'{directory}/METADATA'] = metadata.encode()


def add_libraries(bundle: Bundle) -> None:
    """Add libpython and the system libraries that native files link to.

    The launcher loads them in the listed order; the C library is left out.
    """
    libpython = find_libpython()
    stdlib = Path(sysconfig.get_path('stdlib'))
    roots = [libpython, *sorted((stdlib / 'lib-dynload').glob('*.so'))]
    native_files = [
        path for path in roots if not EXCLUDED_EXTENSIONS.match(path.name)
    ]
    for distribution in runtime_distributions():
        files = distribution.files or ()
        paths = [Path(str(file.locate())) for file in files]
        native_files.extend(path for path in paths if '.so' in path.suffixes)
    libraries: dict[str, Path] = {}
    for path in native_files:
        libraries.update(linked_libraries(path))
    load_order = sorted(
        libraries, key=lambda library: count_dependencies(libraries[library])
    )
    for name in load_order:
        bundle.native_by_name[f'{PRELOAD}/{name}'] = read_stripped(
            libraries[name]
        )
    bundle.native_by_name[f'{PRELOAD}/{libpython.name}'] = read_stripped(
        libpython
    )
    order_file = ' '.join([*load_order, libpython.name])
    bundle.native_by_name[f'{PRELOAD}/order'] = order_file.encode()


def find_libpython() -> Path:
    """Return the path of the shared library of this interpreter.

    Raises
    ------
    BuildError
        If there is none, as with a statically linked interpreter.
    """
    name = sysconfig.get_config_var('INSTSONAME') or ''
    directories = [
        sysconfig.get_config_var('LIBDIR'),
        sysconfig.get_config_var('LIBPL'),
        '/usr/lib',
        f'/usr/lib/{sysconfig.get_config_var("MULTIARCH")}',
    ]
    for library in (name, 'libpython3.11.so.1.0'):
        for directory in directories:
            path = Path(directory or '/') / library
            if library and '.so' in library and path.exists():
                return path.resolve()
    raise BuildError(
        'libpython3.11.so.1.0 not found, '
        'expected a Python 3.11 with a shared library'
    )


def linked_libraries(path: Path) -> dict[str, Path]:
    """Return the system libraries that a file links to, by name."""
    output = run('ldd', str(path))
    found = re.findall(r'(\S+) => (/\S+)', output)
    return {
        name: Path(target).resolve()
        for name, target in found
        if not EXCLUDED_LIBRARIES.match(name) and 'site-packages' not in target
    }


def count_dependencies(path: Path) -> int:
    """Return the number of libraries that a library needs, also indirectly.

    It is larger than that of each library needed, which gives a load order.
    """
    return len(re.findall('=>', run('ldd', str(path))))


def read_stripped(path: Path) -> bytes:
    """Return the content of a library without its debugging symbols."""
    with tempfile.NamedTemporaryFile() as target:
        run('strip', '--strip-unneeded', '-o', target.name, str(path))
        return Path(target.name).read_bytes()


def run(*command: str) -> str:
    """Return the output of a command.

    Raises
    ------
    BuildError
        If the tool is missing or exits with an error.
    """
    if shutil.which(command[0]) is None:
        raise BuildError(f'{command[0]} not found, expected the C tools')
    completed = subprocess.run(
        command, capture_output=True, text=True, check=False
    )
    if completed.returncode:
        raise BuildError(f'{" ".join(command)}: {completed.stderr}')
    return completed.stdout


def pack_native(bundle: Bundle) -> bytes:
    """Return the native files, packed as the launcher reads them.

    Each file is: length of its name (uint32), length of its content (uint64),
    name, content.
    """
    packed = io.BytesIO()
    for name, content in sorted(bundle.native_by_name.items()):
        encoded = name.encode()
        packed.write(struct.pack('=IQ', len(encoded), len(content)))
        packed.write(encoded)
        packed.write(content)
    return packed.getvalue()


def pack_modules(bundle: Bundle, trailer: str) -> bytes:
    """Return the uncompressed zip archive with the trailer as comment."""
    packed = io.BytesIO()
    with zipfile.ZipFile(packed, 'w') as archive:
        for name, content in sorted(bundle.modules_by_name.items()):
            archive.writestr(zipfile.ZipInfo(name, ZIP_DATE), content)
        archive.comment = trailer.encode()
    return packed.getvalue()


def build(target: Path) -> None:
    """Build the binary and write it to `target`."""
    with tempfile.TemporaryDirectory() as name:
        staging = Path(name)
        run('cc', '-O2', '-Wall', '-Wextra', '-Werror', '-rdynamic', '-o',
            str(staging / 'launcher'), str(LAUNCHER), '-ldl')  # fmt: skip
        run('strip', str(staging / 'launcher'))
        launcher = (staging / 'launcher').read_bytes()
        bundle = Bundle(staging)
        add_stdlib(bundle)
        for distribution in runtime_distributions():
            add_distribution(bundle, distribution)
        add_own_packages(bundle)
        add_libraries(bundle)
    native = pack_native(bundle)
    digest = hashlib.sha256(launcher + native).hexdigest()[:16]
    trailer = f'BTBUNDLE1 {digest} {len(launcher):015} {len(native):015}'
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(launcher + native + pack_modules(bundle, trailer))
    target.chmod(0o755)
    print(f'{target}: {target.stat().st_size / 1e6:.1f} MB')


def main() -> None:
    """Build the binary; exit with code 1 and one line on a BuildError."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('target', type=Path, nargs='?',
                        default=ROOT / 'dist' / 'bergamotthread')  # fmt: skip
    try:
        build(parser.parse_args().target)
    except BuildError as error:
        sys.exit(f'build-binary: {error}')


if __name__ == '__main__':
    main()
