//! The C library's own definitions of the interposed functions.

use std::ffi::CStr;
use std::sync::atomic::{AtomicPtr, Ordering};

/// A function of the C library that is looked up at its first call.
pub(crate) struct Next {
    name: &'static CStr,
    address: AtomicPtr<libc::c_void>,
}

impl Next {
    /// The function of this name.
    pub(crate) const fn new(name: &'static CStr) -> Self {
        Self { name, address: AtomicPtr::new(std::ptr::null_mut()) }
    }

    /// Its address, in the type of a function pointer.
    ///
    /// # Safety
    ///
    /// `F` is the type of the function.
    pub(crate) unsafe fn get<F: Copy>(&self) -> F {
        let mut address = self.address.load(Ordering::Relaxed);
        if address.is_null() {
            // SAFETY: the name ends in a zero byte.
            address = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
            self.address.store(address, Ordering::Relaxed);
        }
        const { assert!(size_of::<F>() == size_of::<*mut libc::c_void>()) };
        // SAFETY: a function pointer of the type that the caller names, of the same size.
        unsafe { std::mem::transmute_copy(&address) }
    }
}
